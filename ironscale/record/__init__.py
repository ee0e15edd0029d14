"""Stores of record in SQLite or PostgreSQL: each write runs once and is kept together with its answer."""
