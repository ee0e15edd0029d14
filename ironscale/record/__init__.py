"""SQLite or PostgreSQL as the store of record: written once, answered once."""
