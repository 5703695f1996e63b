//! The client of the platform's HTTP protocol, with a server that gives one answer.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use platform_client::{HttpPlatform, Table};

/// Guards against entries that no longer know each other, because the parser refuses the
/// list of rows for one odd row of another writer.
#[test]
fn an_odd_row_hides_no_other_row() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let good = |key: &str| format!("{{\"key\":\"{key}\",\"version\":1,\"value\":\"v\"}}");
    let odd = [
        format!("{{\"key\":\"x\",\"version\":1,\"value\":{deep}}}"),
        "{\"key\":\"x\",\"version\":1e400,\"value\":\"v\"}".to_owned(),
        "{\"key\":7,\"version\":1,\"value\":\"v\"}".to_owned(),
        "{}".to_owned(),
        "1e400".to_owned(),
        deep.clone(),
    ];
    let unreadable = [
        b"{\"key\":\"x\",\"version\":1,\"value\":\"\xff\xfe\"}",
        b"{\"key\":\"x\",\"version\":1,\"value\":\"\x01\x1f\"}",
    ];
    let odd = odd.into_iter().map(String::into_bytes);
    for odd in odd.chain(unreadable.map(|text| text.to_vec())) {
        let comma = &b","[..];
        let list = [good("a").as_bytes(), &odd, good("b").as_bytes()].join(comma);
        let url = answer_once([b"[", &*list, b"]"].concat());
        let rows = actix::System::new()
            .block_on(async { HttpPlatform::new(&url).list("").await })
            .expect("the others are read");
        let keys: Vec<_> = rows.iter().map(|r| &*r.key).collect();
        assert_eq!(keys, ["a", "b"], "beside {:.60}", odd.escape_ascii());
    }
}

/// URL of a server that answers one request with this body.
fn answer_once(body: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = [0; 4096];
        let read = stream.read(&mut request).expect("a request is sent");
        assert!(read > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("the client reads");
        stream.write_all(&body).expect("the client reads");
    });
    format!("http://{address}")
}
