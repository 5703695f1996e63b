fn main() -> eyre::Result<()> {
    entry::run()
}
