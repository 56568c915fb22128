"""Settings of all tests."""

from hypothesis import settings

# An example's time depends on the machine's load and says nothing of the property.
settings.register_profile("no-deadline", deadline=None)
settings.load_profile("no-deadline")
