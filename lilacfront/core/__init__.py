"""Requests, attempts and outcomes; knows no wire."""
