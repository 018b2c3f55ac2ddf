//! What the operators ask of the text of the program: its size, and which part may use which.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Most lines of a file of the policy.
const MAX_POLICY_FILE_LINES: usize = 250;
/// Most characters of a line.
const MAX_WIDTH: usize = 110;

/// The files that the deploy file names under `policy`.
fn named(root: &Path) -> BTreeSet<String> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("a policy");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// The Rust files of the policy, below the repository's root.
fn policy_files(root: &Path) -> Vec<PathBuf> {
    rust_files(&root.join("src/policy"))
}

#[test]
fn policy_files_are_short_and_narrow() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in policy_files(root) {
        let text = fs::read_to_string(&path).expect("text");
        let count = text.lines().count();
        assert!(count <= MAX_POLICY_FILE_LINES, "{}: {count} lines", path.display());
        let wide = text.lines().find(|line| line.chars().count() > MAX_WIDTH);
        assert_eq!(wide, None, "{}", path.display());
    }
    let module = fs::read_to_string(root.join("src/policy/mod.rs")).expect("the policy's own page");
    assert!(module.lines().next().is_some_and(|line| line.contains("src/interface/")));
}

/// The type that each `impl` of a file is for, without its generics.
fn implemented_types(text: &str) -> BTreeSet<String> {
    let type_of = |line: &str| {
        let rest = line.strip_prefix("impl")?;
        // Without the parameters of the `impl` itself.
        let rest = if rest.starts_with('<') { rest.split_once("> ")?.1 } else { rest };
        let implemented = rest.split_once(" for ").map_or(rest, |(_, implemented)| implemented);
        let name = implemented.trim().split(['<', ' ', '{']).next()?;
        Some(name.to_owned())
    };
    text.lines().filter_map(type_of).collect()
}

#[test]
fn each_type_of_the_policy_is_implemented_in_one_file() {
    let text = "impl A {\nimpl<'a> fmt::Display for B<'a> {\nimpl<T: Ord> C<T> {\n    impl D {\n";
    assert_eq!(implemented_types(text), ["A", "B", "C"].map(str::to_owned).into());
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut owners: BTreeMap<String, PathBuf> = BTreeMap::new();
    for path in policy_files(root) {
        for name in implemented_types(&fs::read_to_string(&path).expect("text")) {
            let other = owners.insert(name.clone(), path.clone());
            assert_eq!(other, None, "{name} is implemented in {}, too", path.display());
        }
    }
    assert!(owners.contains_key("Gateway"));
}

#[test]
fn policy_imports_by_name() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in policy_files(root) {
        let text = fs::read_to_string(&path).expect("text");
        let glob = text.lines().find(|line| line.contains("::*"));
        assert_eq!(glob, None, "{}", path.display());
    }
}

#[test]
fn every_file_of_the_policy_is_named_in_the_deploy_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let name = |path: PathBuf| path.strip_prefix(root).expect("below it").display().to_string();
    let present: BTreeSet<String> = policy_files(root).into_iter().map(name).collect();
    assert_eq!(present, named(root));
}

/// The layers of the node, each using only those before it; a name stands for the file or the folder.
const LAYERS: [&[&str]; 5] = [
    &["config", "config_check", "metrics", "wire"],
    &["hot_restart"],
    &["connection"],
    &["runtime"],
    &[
        "assembly",
        "descriptors",
        "error",
        "listener",
        "operator_calls",
        "reload",
        "shutdown",
        "start",
        "tasks",
    ],
];

/// All Rust files below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let rust = files.into_iter().filter(|path| path.extension().is_some_and(|ending| ending == "rs"));
    rust.chain(folders.iter().flat_map(|folder| rust_files(folder))).collect()
}

/// The paths below `node` that a file's `use` declarations name, each up to its file: `wire::stream`.
fn used(text: &str) -> BTreeSet<String> {
    let code: String = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    let mut used = BTreeSet::new();
    for declaration in code.split("use crate::node::").skip(1) {
        let declaration = declaration.split(';').next().unwrap_or_default();
        expand("", declaration, &mut used);
    }
    used
}

/// Writes out a tree of paths, such as `a::{b, c::D}`.
fn expand(prefix: &str, tree: &str, used: &mut BTreeSet<String>) {
    let tree = tree.trim();
    let Some((head, rest)) = tree.split_once('{') else {
        used.insert(format!("{prefix}{tree}"));
        return;
    };
    let prefix = format!("{prefix}{}", head.trim());
    let (mut depth, mut start) = (0, 0);
    let inner = rest.strip_suffix('}').expect("balanced braces");
    for (at, c) in inner.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                expand(&prefix, &inner[start..at], used);
                start = at + 1;
            }
            _ => {}
        }
    }
    if !inner[start..].trim().is_empty() {
        expand(&prefix, &inner[start..], used);
    }
}

fn layer(module: &str) -> usize {
    let found = LAYERS.iter().position(|layer| layer.contains(&module));
    found.unwrap_or_else(|| panic!("{module} is in no layer"))
}

#[test]
fn a_tree_of_paths_is_written_out() {
    let text = "use crate::node::{\n    wire::{a, b::{C, D}},\n    config,\n};\nuse crate::node::runtime::clock::Clock;";
    let paths = ["config", "runtime::clock::Clock", "wire::a", "wire::b::C", "wire::b::D"];
    assert_eq!(used(text), paths.map(str::to_owned).into());
}

#[test]
fn the_layers_of_the_node_use_only_those_before_them() {
    let node = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/node");
    for path in rust_files(&node) {
        let name = path.strip_prefix(&node).expect("below it").with_extension("");
        let module = name.iter().next().and_then(|part| part.to_str()).expect("a plain name").to_owned();
        if module == "mod" {
            continue;
        }
        for used in used(&fs::read_to_string(&path).expect("text")) {
            let other = used.split("::").next().expect("a part");
            assert!(layer(other) <= layer(&module), "{} uses {used}", name.display());
        }
    }
}

#[test]
fn no_files_of_the_node_use_each_other_in_a_circle() {
    let node = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/node");
    let module = |path: &Path| {
        let name = path.strip_prefix(&node).expect("below it").with_extension("");
        let parts: Vec<&str> = name.iter().filter_map(|part| part.to_str()).collect();
        parts.join("::").trim_end_matches("::mod").to_owned()
    };
    let files: BTreeMap<String, String> = rust_files(&node)
        .iter()
        .map(|path| (module(path), fs::read_to_string(path).expect("text")))
        .collect();
    // A path names the longest file that it begins with.
    let file_of = |path: &str| {
        let owns = |name: &&String| path == name.as_str() || path.starts_with(&format!("{name}::"));
        files.keys().filter(owns).max_by_key(|name| name.len()).cloned()
    };
    let mut left: BTreeMap<&String, BTreeSet<String>> = files
        .iter()
        .map(|(name, text)| (name, used(text).iter().filter_map(|path| file_of(path)).collect()))
        .collect();
    for (uses, name) in left.values_mut().zip(files.keys()) {
        uses.remove(name);
    }
    while let Some(free) = left.iter().find(|(_, uses)| uses.is_empty()).map(|(name, _)| (*name).clone()) {
        left.remove(&free);
        for uses in left.values_mut() {
            uses.retain(|other| *other != free);
        }
    }
    assert!(left.is_empty(), "in a circle, or behind one: {left:?}");
}

#[test]
fn no_file_is_long() {
    const MAX_LINES: usize = 500;
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in [root.join("src"), root.join("lab/src")].iter().flat_map(|folder| rust_files(folder)) {
        let count = fs::read_to_string(&path).expect("text").lines().count();
        assert!(count <= MAX_LINES, "{}: {count} lines", path.display());
    }
}

/// The functions of a file and how many lines each has, by the indentation of their first and last lines.
fn function_lengths(text: &str) -> Vec<(String, usize)> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let is_start = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().take_while(|word| *word != "fn").collect();
        let known =
            |word: &&str| ["pub", "async", "const", "unsafe"].contains(word) || word.starts_with("pub(");
        line.split_whitespace().any(|word| word == "fn") && words.iter().all(known)
    };
    let mut open: Option<(String, usize, usize)> = None;
    let mut lengths = Vec::new();
    for (number, line) in text.lines().enumerate() {
        if is_start(line) {
            open = Some((line.trim().to_owned(), indent(line), number));
        }
        if let Some((name, _, start)) = open.take_if(|(_, at, _)| line.trim() == "}" && indent(line) == *at) {
            lengths.push((name, number + 1 - start));
        }
    }
    lengths
}

#[test]
fn no_function_is_long() {
    const MAX_LINES: usize = 59;
    let text = "fn a() {\n    if b {\n    }\n}\n\nimpl C {\n    pub(super) async fn d() {\n    }\n}\n";
    let lengths: Vec<usize> = function_lengths(text).into_iter().map(|(_, length)| length).collect();
    assert_eq!(lengths, [4, 2]);
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in [root.join("src"), root.join("lab/src")].iter().flat_map(|folder| rust_files(folder)) {
        for (name, length) in function_lengths(&fs::read_to_string(&path).expect("text")) {
            assert!(length <= MAX_LINES, "{}: {length} lines: {name}", path.display());
        }
    }
}

/// The paths below `src`, `lab` and `tests` that a page names in code spans.
fn named_paths(text: &str) -> Vec<&str> {
    let is_path = |span: &&str| ["src/", "lab/", "tests/"].iter().any(|root| span.starts_with(root));
    // Code blocks hold commands, not paths.
    let prose = text.split("```").step_by(2);
    prose.flat_map(|prose| prose.split('`').skip(1).step_by(2)).filter(is_path).collect()
}

#[test]
fn pages_name_only_files_that_exist() {
    assert_eq!(named_paths("a `src/x.rs` b `c` ```sh\n`lab/no`\n``` `lab/y`"), ["src/x.rs", "lab/y"]);
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for page in ["README.md", "docs/architecture.md", "docs/operations.md"] {
        let text = fs::read_to_string(root.join(page)).expect("a page");
        for path in named_paths(&text) {
            assert!(root.join(path).exists(), "{page} names {path}");
        }
    }
}
