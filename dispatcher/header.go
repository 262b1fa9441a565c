package dispatcher

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the header fields that apply to a single connection and are not
// forwarded (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeader copies the end-to-end fields of a message.
func copyHeader(to, from http.Header) {
	count := 0
	for _, values := range from {
		count += len(values)
	}
	copies := make([]string, 0, count)
	for name, values := range from {
		start := len(copies)
		copies = append(copies, values...)
		to[name] = copies[start:len(copies):len(copies)]
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// appendForwardedFor appends the address of the caller to X-Forwarded-For.
func appendForwardedFor(h http.Header, remote string) {
	address, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if earlier := h.Get(forwardedFor); earlier != "" {
		address = earlier + ", " + address
	}
	h.Set(forwardedFor, address)
}

const forwardedFor = "X-Forwarded-For"

// announceTrailers declares the trailers of the response in its header.
func announceTrailers(w http.ResponseWriter, response *http.Response) {
	for name := range response.Trailer {
		w.Header().Add("Trailer", name)
	}
}

// copyTrailers writes the trailers after the body.
func copyTrailers(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		for _, v := range values {
			w.Header().Add(name, v)
		}
	}
}
