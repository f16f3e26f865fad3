//! Operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    dragonflycart_operator::main_with_args(std::env::args_os())
}
