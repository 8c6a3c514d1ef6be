#![allow(clippy::unwrap_used)]
#[test] fn show() { let p = std::env::var("SCN").unwrap(); let s = scenario::parse(&std::fs::read_to_string(p).unwrap()).unwrap(); println!("{:#?}", scenario::run(&s, None)); println!("{:#?}", scenario::run(&s, Some(scenario::Sabotage::LonelyLists))); }
