"""Failures that are shown to people."""


class UserError(Exception):
    """Mistake of a person, shown as one line and ending the command.

    Raised for wrong settings, release notes and arguments; caught once, at the top of each binary.
    """
