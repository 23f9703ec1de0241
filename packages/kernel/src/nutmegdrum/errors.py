"""Errors that are shown to users."""


class UserError(Exception):
    """Mistake of a user, shown as one line before the command ends.

    Raised for wrong settings, release notes and arguments; caught once, at the top of each binary.
    """
