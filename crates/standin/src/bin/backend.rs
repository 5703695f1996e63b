fn main() -> eyre::Result<()> {
    standin::backend::run()
}
