// Package ctl implements the commands of briarctl.
package ctl
