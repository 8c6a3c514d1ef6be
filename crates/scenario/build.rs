//! The tests take their tables from the scenario files, so a new file means a new build.

fn main() {
    println!("cargo::rerun-if-changed=tests/scenarios");
}
