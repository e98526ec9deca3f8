Feature: Requests with odd fields and methods

  Scenario Outline: A size that is no size
    # Guards against a 500 for a number with hundreds of digits.
    When a request comes with "<field>" of <digits> digits
    Then it is answered <status>, and the answer names "<named>"

    Examples:
      | field       | digits | status | named       |
      | Token-Usage | 400    | 400    | Token-Usage |
      | Token-Usage | 5000   | 400    | Token-Usage |
      | Token-Usage | 13     | 400    | Token-Usage |
      | Token-Usage | 6      | 200    |             |
      | Length-Hint | 400    | 400    | Length-Hint |
      | Length-Hint | 5000   | 400    | Length-Hint |
      | Deadline-Ms | 400    | 200    |             |
      | Deadline-Ms | 5000   | 200    |             |

  Scenario: Any value of any field that a host reads
    # Guards against a 500 for a field that a caller made up.
    When requests come with any values of the fields that a host reads
    Then none of them is answered 500

  Scenario Outline: Methods of a route
    # Guards against a proper request that is refused for its method.
    When a request comes with the method "<method>"
    Then it is answered 200, and the answer names ""

    Examples:
      | method   |
      | GET      |
      | OPTIONS  |
      | PROPFIND |

  Scenario Outline: Methods of a host's own pages
    # Guards against a 404 for a page that exists.
    When the page "/pages/one" of methods GET and PUT is asked for with "<method>"
    Then it is answered <status>, and allows "<allowed>"

    Examples:
      | method  | status | allowed           |
      | GET     | 200    |                   |
      | POST    | 405    | GET, OPTIONS, PUT |
      | OPTIONS | 200    | GET, OPTIONS, PUT |
