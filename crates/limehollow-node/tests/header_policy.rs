//! Which headers the gateway removes and which it forwards.

use http::{HeaderMap, HeaderName, HeaderValue};
use limehollow_node::edge::HeaderPolicy;
use limehollow_node::header_policy::clean;

fn policy(name: &HeaderName) -> HeaderPolicy {
    match name.as_str() {
        "model" => HeaderPolicy::Required,
        "reserve" => HeaderPolicy::Reserved,
        _ => HeaderPolicy::Forward,
    }
}

/// Cleans headers whose names are in any case, and returns the remaining ones.
fn cleaned(rows: &[(&str, &str)]) -> Vec<(String, String)> {
    let mut h = HeaderMap::new();
    for (name, value) in rows {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        h.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    clean(&mut h, policy);
    let text = |v: &HeaderValue| v.to_str().expect("text").to_owned();
    let left = h.iter().map(|(n, v)| (n.to_string(), text(v)));
    let mut left: Vec<(String, String)> = left.collect();
    left.sort();
    left
}

fn rows(rows: &[(&str, &str)]) -> Vec<(String, String)> {
    let owned = |(a, b): &(&str, &str)| ((*a).to_owned(), (*b).to_owned());
    rows.iter().map(owned).collect()
}

#[test]
fn clean_removes_reserved_headers() {
    for name in ["reserve", "Reserve", "RESERVE", "rEsErVe"] {
        assert_eq!(cleaned(&[(name, "7"), ("x", "1")]), rows(&[("x", "1")]));
    }
    let twice = [("reserve", "7"), ("Reserve", ""), ("x", "1")];
    assert_eq!(cleaned(&twice), rows(&[("x", "1")]));
}

#[test]
fn clean_removes_hop_by_hop_headers() {
    let all = [
        ("connection", "keep-alive, X-One"),
        ("Connection", "x-two"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("x-three", "3"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("content-length", "5"),
    ];
    assert_eq!(cleaned(&all), rows(&[("x-three", "3")]));
}

#[test]
fn clean_keeps_required_headers_named_by_connection() {
    let named = [
        ("connection", "Model, reserve"),
        ("model", "m"),
        ("reserve", "7"),
    ];
    assert_eq!(cleaned(&named), rows(&[("model", "m")]));
}

#[test]
fn clean_with_a_connection_header_that_names_nothing() {
    let odd = [("connection", ", ;, a b,"), ("x", "1")];
    assert_eq!(cleaned(&odd), rows(&[("x", "1")]));
}

#[test]
fn clean_forwards_repeated_headers() {
    let twice = [("x", "1"), ("x", "2")];
    assert_eq!(cleaned(&twice), rows(&[("x", "1"), ("x", "2")]));
}
