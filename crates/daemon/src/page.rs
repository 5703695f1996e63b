use prometheus_client::{encoding::text::encode, registry::Registry};

/// The page that Prometheus reads; says so when it can't be written.
pub fn metrics_page(registry: &Registry) -> String {
    let mut page = String::new();
    if let Err(e) = encode(&mut page, registry) {
        return format!("# metrics can't be written: {e}\n");
    }
    page
}
