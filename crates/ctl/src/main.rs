fn main() -> std::process::ExitCode {
    ctl::run()
}
