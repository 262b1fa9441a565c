package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call sends a request on a new connection and waits for the answer until the time limit.
func call(r *record, q *request, body string) {
	conn, err := net.DialTimeout("tcp", q.host, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.timeLimit))
	r.sent(q)
	if _, err := io.WriteString(conn, head(q, len(body))+body); err != nil {
		r.answered(q, 0, false, "the connection ended: "+kindOf(err))
		return
	}
	readAnswer(r, q, bufio.NewReader(conn), bodyOf(q.id, q.method, q.path, body))
}

// head returns the header of a request.
func head(q *request, length int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", q.method, q.path, hostName, q.id, q.timeLimit.Milliseconds())
	if length > 0 {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return h + "\r\n"
}

// readAnswer reads the answer to a request, which is to be as expected if it is a success, and
// reports whether the connection stays open.
func readAnswer(r *record, q *request, reader *bufio.Reader, expected string) (open bool) {
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		r.answered(q, 0, false, "the connection ended: "+kindOf(err))
		return false
	}
	data, err := io.ReadAll(response.Body)
	fault := ""
	switch {
	case err != nil:
		fault = "incomplete"
	case response.StatusCode == http.StatusOK && string(data) != expected:
		fault = "wrong body"
	}
	r.answered(q, response.StatusCode, response.Header.Get("Response-Signature") != "", fault)
	return err == nil && !response.Close
}

// kindOf returns an error without addresses.
func kindOf(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}
