// Package queueconfig defines the operators' configuration as plain data: the queues, the
// services that run their jobs, and the organisations with their API keys.
package queueconfig
