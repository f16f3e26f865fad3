//! Daemon of an entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflycart_node::run_with_args(std::env::args_os())
}
