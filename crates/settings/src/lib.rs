//! Validated settings of the daemon, read from INI files.
