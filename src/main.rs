//! The `hemlockfield` program.

fn main() -> std::process::ExitCode {
    hemlockfield::cli::run(std::env::args().skip(1).collect())
}
