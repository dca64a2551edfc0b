//! Command line program `hemlockfield`.

fn main() -> std::process::ExitCode {
    hemlockfield::cli::run(std::env::args().skip(1).collect())
}
