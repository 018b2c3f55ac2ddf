//! Checks of the source text. The operators require limits on the length of files and functions, and dependencies in
//! one direction between the node's modules. Further tests compare the policy files with those that
//! `deploy/balancer.toml` lists, and the file names in the documentation with the files that exist.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Limit on the lines of a policy file.
const MAX_POLICY_FILE_LINES: usize = 250;
/// Limit on the characters in a line of a policy file.
const MAX_POLICY_LINE_WIDTH: usize = 110;

/// Returns the files that `deploy/balancer.toml` lists under `policy`.
fn listed_policy_files(root: &Path) -> BTreeSet<String> {
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("readable deploy file");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("a line `policy = `");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the paths of the policy's Rust files, each beginning with `root`.
fn policy_files(root: &Path) -> Vec<PathBuf> {
    rust_files(&root.join("src/policy"))
}

#[test]
fn policy_files_stay_within_length_and_width_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in policy_files(root) {
        let text = fs::read_to_string(&path).expect("readable file");
        let count = text.lines().count();
        assert!(
            count <= MAX_POLICY_FILE_LINES,
            "{}: {count} lines, {MAX_POLICY_FILE_LINES} allowed",
            path.display()
        );
        let wide = text.lines().find(|line| line.chars().count() > MAX_POLICY_LINE_WIDTH);
        assert_eq!(wide, None, "{}: more than {MAX_POLICY_LINE_WIDTH} characters", path.display());
    }
    let policy_module =
        fs::read_to_string(root.join("src/policy/mod.rs")).expect("readable src/policy/mod.rs");
    // The first line of the module docs must name the folder that defines the policy's events and actions.
    assert!(policy_module.lines().next().is_some_and(|line| line.contains("src/interface/")));
}

/// Returns the types that the `impl` blocks of a file are for, without generic parameters.
fn implemented_types(text: &str) -> BTreeSet<String> {
    let type_of = |line: &str| {
        let rest = line.strip_prefix("impl")?;
        // Skips the generic parameters of the `impl` itself.
        let rest = if rest.starts_with('<') { rest.split_once("> ")?.1 } else { rest };
        let implemented = rest.split_once(" for ").map_or(rest, |(_, implemented)| implemented);
        let name = implemented.trim().split(['<', ' ', '{']).next()?;
        Some(name.to_owned())
    };
    text.lines().filter_map(type_of).collect()
}

#[test]
fn each_policy_type_is_implemented_in_one_file() {
    let text = "impl A {\nimpl<'a> fmt::Display for B<'a> {\nimpl<T: Ord> C<T> {\n    impl D {\n";
    assert_eq!(implemented_types(text), ["A", "B", "C"].map(str::to_owned).into());
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut owners: BTreeMap<String, PathBuf> = BTreeMap::new();
    for path in policy_files(root) {
        for name in implemented_types(&fs::read_to_string(&path).expect("readable file")) {
            let earlier_path = owners.insert(name.clone(), path.clone());
            assert_eq!(earlier_path, None, "{name} is implemented in {}, too", path.display());
        }
    }
    assert!(owners.contains_key("Gateway"));
}

#[test]
fn policy_has_no_glob_imports() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in policy_files(root) {
        let text = fs::read_to_string(&path).expect("readable file");
        let glob = text.lines().find(|line| line.contains("::*"));
        assert_eq!(glob, None, "{}: glob import", path.display());
    }
}

#[test]
fn deploy_file_lists_exactly_the_policy_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let name = |path: PathBuf| path.strip_prefix(root).expect("path below the folder").display().to_string();
    let present: BTreeSet<String> = policy_files(root).into_iter().map(name).collect();
    assert_eq!(present, listed_policy_files(root));
}

/// Layers of the node's modules. A module uses only its own layer and those before it. A name stands for a file or a
/// folder below `src/node`.
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

/// Returns all Rust files below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries =
        fs::read_dir(folder).expect("readable folder").map(|entry| entry.expect("readable entry").path());
    let (folders, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let rust = files.into_iter().filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    rust.chain(folders.iter().flat_map(|folder| rust_files(folder))).collect()
}

/// Returns the paths below `crate::node` that the `use` declarations of a file name, such as `wire::stream`.
fn imported_paths(text: &str) -> BTreeSet<String> {
    let code: String = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    let mut paths = BTreeSet::new();
    for declaration in code.split("use crate::node::").skip(1) {
        let declaration = declaration.split(';').next().unwrap_or_default();
        expand_use_tree("", declaration, &mut paths);
    }
    paths
}

/// Adds each path of a `use` tree such as `a::{b, c::D}` to `paths`.
fn expand_use_tree(prefix: &str, tree: &str, paths: &mut BTreeSet<String>) {
    let tree = tree.trim();
    let Some((head, rest)) = tree.split_once('{') else {
        paths.insert(format!("{prefix}{tree}"));
        return;
    };
    let prefix = format!("{prefix}{}", head.trim());
    let (mut depth, mut start) = (0, 0);
    let inner = rest.strip_suffix('}').expect("balanced braces");
    for (index, c) in inner.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                expand_use_tree(&prefix, &inner[start..index], paths);
                start = index + 1;
            }
            _ => {}
        }
    }
    if !inner[start..].trim().is_empty() {
        expand_use_tree(&prefix, &inner[start..], paths);
    }
}

fn layer_index(module: &str) -> usize {
    let index = LAYERS.iter().position(|layer| layer.contains(&module));
    index.unwrap_or_else(|| panic!("{module} is in no layer"))
}

#[test]
fn use_tree_expands_to_its_paths() {
    let text = "use crate::node::{\n    wire::{a, b::{C, D}},\n    config,\n};\nuse crate::node::runtime::clock::Clock;";
    let paths = ["config", "runtime::clock::Clock", "wire::a", "wire::b::C", "wire::b::D"];
    assert_eq!(imported_paths(text), paths.map(str::to_owned).into());
}

#[test]
fn node_modules_do_not_use_later_layers() {
    let node = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/node");
    for path in rust_files(&node) {
        let name = path.strip_prefix(&node).expect("path below the folder").with_extension("");
        let module = name.iter().next().and_then(|part| part.to_str()).expect("a UTF-8 name").to_owned();
        if module == "mod" {
            continue;
        }
        for import in imported_paths(&fs::read_to_string(&path).expect("readable file")) {
            let imported_module = import.split("::").next().expect("a first part");
            assert!(
                layer_index(imported_module) <= layer_index(&module),
                "{} uses {import}, of a later layer",
                name.display()
            );
        }
    }
}

#[test]
fn node_files_have_no_circular_dependencies() {
    let node = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/node");
    let module_path = |path: &Path| {
        let name = path.strip_prefix(&node).expect("path below the folder").with_extension("");
        let parts: Vec<&str> = name.iter().filter_map(|part| part.to_str()).collect();
        parts.join("::").trim_end_matches("::mod").to_owned()
    };
    let files: BTreeMap<String, String> = rust_files(&node)
        .iter()
        .map(|path| (module_path(path), fs::read_to_string(path).expect("readable file")))
        .collect();
    // A path belongs to the file with the longest module path that it begins with.
    let file_of = |path: &str| {
        let contains_path = |name: &&String| path == name.as_str() || path.starts_with(&format!("{name}::"));
        files.keys().filter(contains_path).max_by_key(|name| name.len()).cloned()
    };
    let mut remaining: BTreeMap<&String, BTreeSet<String>> = files
        .iter()
        .map(|(name, text)| (name, imported_paths(text).iter().filter_map(|path| file_of(path)).collect()))
        .collect();
    for (uses, name) in remaining.values_mut().zip(files.keys()) {
        uses.remove(name);
    }
    while let Some(independent) =
        remaining.iter().find(|(_, uses)| uses.is_empty()).map(|(name, _)| (*name).clone())
    {
        remaining.remove(&independent);
        for uses in remaining.values_mut() {
            uses.retain(|used| *used != independent);
        }
    }
    assert!(remaining.is_empty(), "files with circular dependencies, and files that use them: {remaining:?}");
}

#[test]
fn source_files_stay_within_line_limit() {
    const MAX_LINES: usize = 500;
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in [root.join("src"), root.join("lab/src")].iter().flat_map(|folder| rust_files(folder)) {
        let count = fs::read_to_string(&path).expect("readable file").lines().count();
        assert!(count <= MAX_LINES, "{}: {count} lines, {MAX_LINES} allowed", path.display());
    }
}

/// Returns the first line of each function in a file and the number of its lines. A function ends at the closing brace
/// with the indentation of its first line.
fn function_lengths(text: &str) -> Vec<(String, usize)> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let is_start = |line: &str| {
        let words_before_fn: Vec<&str> = line.split_whitespace().take_while(|word| *word != "fn").collect();
        let is_qualifier =
            |word: &&str| ["pub", "async", "const", "unsafe"].contains(word) || word.starts_with("pub(");
        line.split_whitespace().any(|word| word == "fn") && words_before_fn.iter().all(is_qualifier)
    };
    let mut open_function: Option<(String, usize, usize)> = None;
    let mut lengths = Vec::new();
    for (number, line) in text.lines().enumerate() {
        if is_start(line) {
            open_function = Some((line.trim().to_owned(), indent(line), number));
        }
        if let Some((first_line, _, start)) =
            open_function.take_if(|(_, indentation, _)| line.trim() == "}" && indent(line) == *indentation)
        {
            lengths.push((first_line, number + 1 - start));
        }
    }
    lengths
}

#[test]
fn functions_stay_within_line_limit() {
    const MAX_LINES: usize = 59;
    let text = "fn a() {\n    if b {\n    }\n}\n\nimpl C {\n    pub(super) async fn d() {\n    }\n}\n";
    let lengths: Vec<usize> = function_lengths(text).into_iter().map(|(_, length)| length).collect();
    assert_eq!(lengths, [4, 2]);
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for path in [root.join("src"), root.join("lab/src")].iter().flat_map(|folder| rust_files(folder)) {
        for (first_line, length) in function_lengths(&fs::read_to_string(&path).expect("readable file")) {
            assert!(
                length <= MAX_LINES,
                "{}: {length} lines in {first_line}, {MAX_LINES} allowed",
                path.display()
            );
        }
    }
}

/// Returns the paths below `src`, `lab` and `tests` that a Markdown page names in code spans.
fn named_paths(text: &str) -> Vec<&str> {
    let is_path = |span: &&str| ["src/", "lab/", "tests/"].iter().any(|root| span.starts_with(root));
    // Skips code blocks, which contain commands.
    let prose = text.split("```").step_by(2);
    prose.flat_map(|prose| prose.split('`').skip(1).step_by(2)).filter(is_path).collect()
}

#[test]
fn documentation_names_only_existing_files() {
    assert_eq!(named_paths("a `src/x.rs` b `c` ```sh\n`lab/no`\n``` `lab/y`"), ["src/x.rs", "lab/y"]);
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for page in ["README.md", "docs/architecture.md", "docs/operations.md"] {
        let text = fs::read_to_string(root.join(page)).expect("readable page");
        for path in named_paths(&text) {
            assert!(root.join(path).exists(), "{page} names {path}, which does not exist");
        }
    }
}
