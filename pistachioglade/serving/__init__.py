"""The programs that serve callers, engines and the storage machines."""
