//! The form of the file that outlives the process: the bytes that earlier versions wrote, read and written.

use super::*;
use std::env;

const STORED: &str = r#"{"form":1,"node":"n0","out":["10.1.0.18:8443","s-00000007"]}"#;

/// The file of node `n0` in a folder of its own, which is removed with it.
struct Scratch(MaintenanceFile);

impl Scratch {
    fn new(name: &str) -> Self {
        let folder = env::temp_dir().join(format!("maintenance-file-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("oliverack-n0.out.json");
        let file = MaintenanceFile::inside(SharedFolder::below(folder, "n0"), "n0");
        assert_eq!(file.path, path);
        Self(file)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(self.0.path.parent().expect("a folder"));
    }
}

#[test]
fn file_is_written_with_the_bytes_of_earlier_versions() {
    let scratch = Scratch::new("stored");
    let endpoints: [EndpointId; 2] = ["s-00000007".into(), "10.1.0.18:8443".into()];
    scratch.0.store(endpoints.iter()).expect("a folder to write to");
    assert_eq!(fs::read_to_string(&scratch.0.path).expect("a file"), STORED);
    scratch.0.store([].iter()).expect("a folder to write to");
    assert_eq!(fs::read_to_string(&scratch.0.path).expect("a file"), r#"{"form":1,"node":"n0","out":[]}"#);
}

#[test]
fn file_of_an_earlier_version_is_loaded() {
    let scratch = Scratch::new("loaded");
    fs::write(&scratch.0.path, STORED).expect("a folder to write to");
    let loaded = scratch.0.load().expect("a known form");
    assert_eq!(loaded.iter().map(|id| &**id).collect::<Vec<_>>(), ["10.1.0.18:8443", "s-00000007"]);
}
