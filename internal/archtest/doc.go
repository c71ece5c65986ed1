// Package archtest checks the architecture rules of the code base. It contains only tests.
package archtest
