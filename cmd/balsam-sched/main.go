// Command balsam-sched holds partitions: team queues, racks and target groups.
package main

func main() {}
