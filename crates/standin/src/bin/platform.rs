fn main() -> eyre::Result<()> {
    standin::platform::run()
}
