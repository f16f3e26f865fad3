//! The entry VM's daemon as a library.
