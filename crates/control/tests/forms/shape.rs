//! Describes the shape of a type in the internal encoding as text: the kinds of values in their order,
//! without the names of types and fields, which the encoding does not contain.
//!
//! A type is decoded repeatedly from placeholder values, until each variant of each enum has been decoded
//! once. The kinds of values that the decoder requested are the shape of the type.

use serde::de::value::{Error, U32Deserializer};
use serde::de::{
    self, DeserializeOwned, DeserializeSeed, Deserializer, EnumAccess, IntoDeserializer, MapAccess,
    SeqAccess, VariantAccess, Visitor,
};
use std::fmt::Write;

/// Returns the shape of `T`: one line for each value, indented by depth; variants carry their index.
pub fn shape_of<T: DeserializeOwned>() -> String {
    let mut root = Node::default();
    while !root.is_complete() {
        T::deserialize(Recorder { node: &mut root }).expect("a placeholder value is accepted");
    }
    let mut text = String::new();
    root.write(0, &mut text);
    text
}

/// The kind of value that a decoder requested at one position, and its parts.
#[derive(Default)]
struct Node {
    kind: &'static str,
    parts: Vec<Node>,
    is_enum: bool,
    /// For an enum: whether the variant of each index has been decoded.
    decoded: Vec<bool>,
}

impl Node {
    fn is_complete(&self) -> bool {
        let has_kind = !self.kind.is_empty();
        let all_decoded = self.decoded.iter().all(|decoded| *decoded);
        has_kind && all_decoded && self.parts.iter().all(Self::is_complete)
    }

    fn part(&mut self, index: usize) -> &mut Self {
        if self.parts.len() <= index {
            self.parts.resize_with(index + 1, Self::default);
        }
        &mut self.parts[index]
    }

    /// Marks and returns the index of the first variant that is not completely decoded.
    fn next_variant(&mut self, count: usize) -> usize {
        self.kind = "enum";
        self.is_enum = true;
        self.decoded.resize(count, false);
        let is_incomplete = |index: &usize| {
            !self.decoded[*index] || self.parts.get(*index).is_some_and(|part| !part.is_complete())
        };
        let variant = (0..count).find(is_incomplete).unwrap_or_default();
        self.decoded[variant] = true;
        variant
    }

    fn write(&self, depth: usize, text: &mut String) {
        writeln!(text, "{:1$}{kind}", "", depth * 2, kind = self.kind).expect("text grows");
        for (index, part) in self.parts.iter().enumerate() {
            if self.is_enum {
                write!(text, "{:1$}{index} ", "", depth * 2 + 2).expect("text grows");
                part.write_variant(depth + 2, text);
            } else {
                part.write(depth + 1, text);
            }
        }
    }

    fn write_variant(&self, depth: usize, text: &mut String) {
        writeln!(text, "{}", self.kind).expect("text grows");
        self.parts.iter().for_each(|part| part.write(depth, text));
    }
}

/// A deserializer that records the requested kinds in a node.
struct Recorder<'n> {
    node: &'n mut Node,
}

/// Methods that record the kind of a primitive value and provide a placeholder.
macro_rules! primitive_methods {
    ($($method:ident $visit:ident $value:expr, $kind:literal;)*) => {
        $(fn $method<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
            self.node.kind = $kind;
            visitor.$visit($value)
        })*
    };
}

impl<'n> Recorder<'n> {
    fn parts(self, kind: &'static str, count: usize) -> Parts<'n> {
        self.node.kind = kind;
        Parts { node: self.node, next_index: 0, count }
    }
}

impl Deserializer<'static> for Recorder<'_> {
    type Error = Error;

    primitive_methods! {
        deserialize_bool visit_bool false, "bool";
        deserialize_i8 visit_i8 0, "i8";
        deserialize_i16 visit_i16 0, "i16";
        deserialize_i32 visit_i32 0, "i32";
        deserialize_i64 visit_i64 0, "i64";
        deserialize_u8 visit_u8 0, "u8";
        deserialize_u16 visit_u16 0, "u16";
        deserialize_u32 visit_u32 0, "u32";
        deserialize_u64 visit_u64 0, "u64";
        deserialize_u128 visit_u128 0, "u128";
        deserialize_f32 visit_f32 0.0, "f32";
        deserialize_f64 visit_f64 0.0, "f64";
        deserialize_char visit_char 'a', "char";
        deserialize_str visit_borrowed_str "a", "string";
        deserialize_string visit_borrowed_str "a", "string";
        deserialize_bytes visit_borrowed_bytes b"a", "bytes";
        deserialize_byte_buf visit_borrowed_bytes b"a", "bytes";
    }

    fn is_human_readable(&self) -> bool {
        false
    }

    fn deserialize_any<V: Visitor<'static>>(self, _: V) -> Result<V::Value, Error> {
        Err(de::Error::custom("the internal encoding does not describe types"))
    }

    fn deserialize_option<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
        self.node.kind = "option";
        visitor.visit_some(Recorder { node: self.node.part(0) })
    }

    fn deserialize_unit<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
        self.node.kind = "unit";
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'static>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.deserialize_unit(visitor)
    }

    /// A newtype is encoded as its content.
    fn deserialize_newtype_struct<V: Visitor<'static>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_seq(self.parts("sequence", 1))
    }

    fn deserialize_tuple<V: Visitor<'static>>(
        self,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(self.parts("fields", length))
    }

    fn deserialize_tuple_struct<V: Visitor<'static>>(
        self,
        _: &'static str,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.deserialize_tuple(length, visitor)
    }

    fn deserialize_map<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_map(self.parts("map", 2))
    }

    fn deserialize_struct<V: Visitor<'static>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.deserialize_tuple(fields.len(), visitor)
    }

    fn deserialize_enum<V: Visitor<'static>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        let index = self.node.next_variant(variants.len());
        visitor.visit_enum(Variant { node: self.node.part(index), index })
    }

    fn deserialize_identifier<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }

    fn deserialize_ignored_any<V: Visitor<'static>>(self, visitor: V) -> Result<V::Value, Error> {
        self.deserialize_any(visitor)
    }
}

/// Decodes the parts of a value in order.
struct Parts<'n> {
    node: &'n mut Node,
    next_index: usize,
    count: usize,
}

impl Parts<'_> {
    fn decode_part<S: DeserializeSeed<'static>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Error> {
        if self.next_index == self.count {
            return Ok(None);
        }
        let node = self.node.part(self.next_index);
        self.next_index += 1;
        seed.deserialize(Recorder { node }).map(Some)
    }
}

impl SeqAccess<'static> for Parts<'_> {
    type Error = Error;

    fn next_element_seed<S: DeserializeSeed<'static>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Error> {
        self.decode_part(seed)
    }
}

impl MapAccess<'static> for Parts<'_> {
    type Error = Error;

    fn next_key_seed<K: DeserializeSeed<'static>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, Error> {
        self.decode_part(seed)
    }

    fn next_value_seed<V: DeserializeSeed<'static>>(&mut self, seed: V) -> Result<V::Value, Error> {
        self.decode_part(seed)?.ok_or_else(|| de::Error::custom("a value without a key"))
    }
}

/// Decodes the content of one enum variant.
struct Variant<'n> {
    node: &'n mut Node,
    index: usize,
}

impl<'n> EnumAccess<'static> for Variant<'n> {
    type Error = Error;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'static>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Self::Variant), Error> {
        let index = u32::try_from(self.index).expect("a small number");
        let index: U32Deserializer<Error> = index.into_deserializer();
        Ok((seed.deserialize(index)?, self))
    }
}

impl VariantAccess<'static> for Variant<'_> {
    type Error = Error;

    fn unit_variant(self) -> Result<(), Error> {
        self.node.kind = "nothing";
        Ok(())
    }

    fn newtype_variant_seed<S: DeserializeSeed<'static>>(self, seed: S) -> Result<S::Value, Error> {
        self.node.kind = "fields";
        seed.deserialize(Recorder { node: self.node.part(0) })
    }

    fn tuple_variant<V: Visitor<'static>>(
        self,
        length: usize,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_seq(Recorder { node: self.node }.parts("fields", length))
    }

    fn struct_variant<V: Visitor<'static>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        self.tuple_variant(fields.len(), visitor)
    }
}
