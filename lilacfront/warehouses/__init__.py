"""How attempts reach engines."""
