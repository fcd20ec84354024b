"""The configuration document: types, validation, versions, differences and schema."""
