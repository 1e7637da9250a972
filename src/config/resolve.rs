//! Resolution of references between the fields of a settings file.

use super::error::ConfigError;
use super::grammar::{Field, Node, Value};

/// Joins a path and the label of a field in it.
pub(super) fn join(path: &str, label: &str) -> String {
    if path.is_empty() {
        label.to_string()
    } else {
        format!("{path}.{label}")
    }
}

/// Replaces every reference by a copy of the value that its path, from the top of the file, leads to.
///
/// # Errors
/// Every reference whose path leads to no field or that refers to itself, at the position of the reference.
pub fn resolve(root: &Node) -> Result<Node, Vec<ConfigError>> {
    let mut resolver = Resolver { root, active: Vec::new(), errors: Vec::new() };
    let resolved = resolver.resolve(root, "");
    if resolver.errors.is_empty() {
        Ok(resolved)
    } else {
        Err(resolver.errors)
    }
}

struct Resolver<'a> {
    root: &'a Node,
    /// References that are being resolved, outermost first: one that appears in it again is circular.
    active: Vec<String>,
    errors: Vec<ConfigError>,
}

impl<'a> Resolver<'a> {
    /// Resolves the references in `node`, which is the value of the field `path`.
    fn resolve(&mut self, node: &Node, path: &str) -> Node {
        let value = match &node.value {
            Value::Reference(target) => self.follow(node, target, path),
            Value::Record(fields) => {
                Value::Record(fields.iter().map(|f| self.resolve_field(f, path)).collect())
            }
            Value::List(items) => {
                let item = |(n, item)| self.resolve(item, &format!("{path}[{n}]"));
                Value::List(items.iter().enumerate().map(item).collect())
            }
            other => other.clone(),
        };
        Node { value, at: node.at }
    }

    fn resolve_field(&mut self, field: &Field, path: &str) -> Field {
        let node = self.resolve(&field.node, &join(path, &field.label));
        Field { label: field.label.clone(), at: field.at, node }
    }

    /// The value that a reference leads to; null, with an error, if there is none. Its node keeps the position
    /// of the reference, so that later errors about the value are reported where it is used.
    fn follow(&mut self, reference: &Node, target: &[String], path: &str) -> Value {
        let name = target.join(".");
        let message = match self.find(target) {
            _ if self.active.contains(&name) => format!("circular reference: `{name}` refers to itself"),
            None => format!("undefined reference: the file has no field `{name}`"),
            Some(node) => {
                self.active.push(name);
                let resolved = self.resolve(node, path);
                self.active.pop();
                return resolved.value;
            }
        };
        self.errors.push(ConfigError { at: reference.at, field: path.to_string(), message });
        Value::Null
    }

    fn find(&self, target: &[String]) -> Option<&'a Node> {
        target.iter().try_fold(self.root, |node, step| match &node.value {
            Value::Record(fields) => fields.iter().find(|f| &f.label == step).map(|f| &f.node),
            Value::List(items) => step.parse::<usize>().ok().and_then(|n| items.get(n)),
            _ => None,
        })
    }
}
