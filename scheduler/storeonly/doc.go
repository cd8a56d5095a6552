// Package storeonly keeps slot ownership and journals in the platform's table
// and object store alone. An owner stops when it cannot reach the platform.
package storeonly
