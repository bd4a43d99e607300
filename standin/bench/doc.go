// Package bench measures placement decisions, packing and reservation orders. Each
// run compares with a baseline in the same process, prints one table and returns
// rows for a JSON file. Seeds are fixed; times depend on the machine.
package bench
