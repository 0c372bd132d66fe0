// Command magnoliastand is the fleet capacity and maintenance manager.
package main

func main() {}
