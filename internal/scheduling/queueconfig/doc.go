// Package queueconfig holds the operators' configuration as plain data: the queues,
// the services behind them and the organisations with their keys.
package queueconfig
