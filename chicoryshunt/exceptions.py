"""Exceptions that chicoryshunt raises."""


class ChicoryshuntError(Exception):
    """Base class of the errors that the package raises."""


class SettingsError(ChicoryshuntError):
    """A settings file is unreadable or invalid."""


class CodecError(ChicoryshuntError):
    """A message cannot be decoded."""


class PlatformError(ChicoryshuntError):
    """A platform service did not answer as its interface specifies."""


class TargetError(ChicoryshuntError):
    """A target did not answer as its interface specifies."""


class CallError(ChicoryshuntError):
    """A request of a client cannot be completed."""


class UsageError(ChicoryshuntError):
    """A command line has wrong arguments."""
