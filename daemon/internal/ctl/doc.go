// Package ctl holds the commands of briarctl.
package ctl
