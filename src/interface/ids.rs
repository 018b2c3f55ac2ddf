//! Identifiers that the policy compares and orders but never interprets.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

/// Defines a string identifier as a type of its own, so that it can't be mistaken for one of another kind.
/// Clones share the text, so they are cheap.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// Identifier of a request, unique for the lifetime of a gateway.
    RequestId
}

string_id! {
    /// Identifier of an endpoint, the same at every gateway.
    EndpointId
}

string_id! {
    /// Identifier of a customer, the same at every gateway.
    CustomerId
}
