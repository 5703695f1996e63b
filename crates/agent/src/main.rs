fn main() -> eyre::Result<()> {
    agent::run()
}
