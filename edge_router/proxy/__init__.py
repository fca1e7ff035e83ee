"""The stages of a request: parsing, admission, routing, dispatch, response handling and accounting."""
