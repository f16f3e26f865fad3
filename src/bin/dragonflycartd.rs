//! Entry point of `dragonflycartd`.

fn main() {}
