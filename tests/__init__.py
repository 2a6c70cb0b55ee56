"""Tests of mapleshunt."""
