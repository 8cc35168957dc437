"""`python -m lilacfront`."""

from lilacfront.cli import main

if __name__ == "__main__":
    main(prog_name="lilacfront")
