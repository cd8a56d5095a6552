// Package storeonly keeps slot ownership and journals in the platform's table and
// object store only. An owner stops acting when it can't reach the platform.
package storeonly
