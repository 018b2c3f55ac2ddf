//! Tests that the maintenance file is read and written as the bytes of earlier versions.

use super::*;
use std::env;

const STORED: &str = r#"{"form":1,"node":"n0","out":["10.1.0.18:8443","s-00000007"]}"#;

/// The maintenance file of gateway `n0` in its own folder, which is removed when this is dropped.
struct TemporaryFile(MaintenanceFile);

impl TemporaryFile {
    fn new(name: &str) -> Self {
        let folder = env::temp_dir().join(format!("maintenance-file-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("oliverack-n0.out.json");
        let file = MaintenanceFile::in_folder(SharedFolder::new(folder, "n0"), "n0");
        assert_eq!(file.path, path);
        Self(file)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(self.0.path.parent().expect("a folder"));
    }
}

#[test]
fn file_is_written_as_by_earlier_versions() {
    let temporary = TemporaryFile::new("stored");
    let endpoints: [EndpointId; 2] = ["s-00000007".into(), "10.1.0.18:8443".into()];
    temporary.0.store(endpoints.iter()).expect("a folder to write to");
    assert_eq!(fs::read_to_string(&temporary.0.path).expect("a file"), STORED);
    temporary.0.store([].iter()).expect("a folder to write to");
    assert_eq!(fs::read_to_string(&temporary.0.path).expect("a file"), r#"{"form":1,"node":"n0","out":[]}"#);
}

#[test]
fn file_of_earlier_version_is_loaded() {
    let temporary = TemporaryFile::new("loaded");
    fs::write(&temporary.0.path, STORED).expect("a folder to write to");
    let loaded = temporary.0.load().expect("a valid file");
    assert_eq!(loaded.iter().map(|id| &**id).collect::<Vec<_>>(), ["10.1.0.18:8443", "s-00000007"]);
}
