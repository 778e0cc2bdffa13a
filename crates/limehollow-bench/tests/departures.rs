//! Departures are read from lines as an engineer finds them.

use limehollow_bench::departures::Departures;

const LINES: &str = r#"
   1.000 vm-1 {"message":"endpoint listed","instance":"i-1","leaving":false}
   5.000 vm-1 {"message":"endpoint listed","instance":"i-1","leaving":true,"learnt":"Store"}
   5.200 vm-2 {"message":"endpoint is off the list","instance":"i-1"}
   5.900 vm-2 {"message":"endpoint listed","instance":"i-1","leaving":true}
   5.300 vm-3 {"message":"a removal is held back","instance":"i-1","held_ms":2500}
   6.500 vm-3 {"message":"sent","endpoint":"i-1","list_age_ms":1600}
   7.600 vm-3 {"message":"sent","endpoint":"i-1","list_age_ms":2700}
   7.800 vm-3 {"message":"endpoint is off the list","instance":"i-1"}
   7.900 vm-3 {"message":"endpoint is off
words of something else"#;

#[test]
fn read_first_last_and_late() {
    let d = Departures::read(LINES.lines(), 2.0);
    let row = d.get("i-1").expect("it left");
    let vms: Vec<&str> = row.learnt.iter().map(|k| k.vm.as_str()).collect();
    assert_eq!(vms, ["vm-1", "vm-2", "vm-3"]);
    assert!((row.spread_s() - 2.8).abs() < 1e-9);
    assert_eq!(row.held_back, 1);
    assert_eq!(row.late.len(), 1, "{:?}", row.late);
    assert_eq!(row.late[0].2, Some(2700));
}

#[test]
fn read_shows_the_longest_first() {
    let more = "\n1.0 vm-1 {\"message\":\"endpoint is off the list\",\"instance\":\"i-2\"}";
    let d = Departures::read(format!("{LINES}{more}").lines(), 2.0);
    let text = d.to_string();
    assert!(
        text.starts_with(
            "2 endpoints left; 3 VMs learnt of it\ni-1  first 5.00 s vm-1; last +2.80 s vm-3"
        ),
        "{text}"
    );
    assert!(text.contains("1 sent late, last +2.60 s vm-3 with a list 2700 ms old"));
}

#[test]
fn read_nothing() {
    let d = Departures::read(["", "{", "x y {}"], 2.0);
    assert_eq!(d.to_string(), "0 endpoints left; 0 VMs learnt of it\n");
}
