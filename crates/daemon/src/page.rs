use prometheus_client::{encoding::text::encode, registry::Registry};

/// Encodes the metrics for Prometheus; on an error the page says so instead.
pub fn metrics_page(registry: &Registry) -> String {
    let mut page = String::new();
    if let Err(e) = encode(&mut page, registry) {
        return format!("# metrics can't be written: {e}\n");
    }
    page
}
