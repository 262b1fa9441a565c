// Package saturator contains tests that send a host's process as much as its limits allow,
// and check that it stays alive, within its memory and within its file descriptors. They run
// one at a time, apart from other load.
package saturator
