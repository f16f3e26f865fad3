//! The operators' command line as a library.
