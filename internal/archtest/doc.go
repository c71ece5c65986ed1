// Package archtest checks the layout rules of the code base; it has only tests.
package archtest
