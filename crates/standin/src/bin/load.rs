fn main() -> eyre::Result<()> {
    standin::load::run()
}
