//! Entry point of `dragonflycartctl`.

fn main() {}
